/** Authentication of customers and admission of their requests. */
export {authenticate, digestKey} from './authenticate.ts';
